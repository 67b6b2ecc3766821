// Package tools holds no code: its go.mod pins the development tools' versions.
package tools
