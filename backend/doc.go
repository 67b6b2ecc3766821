// Package backend is for users' backend servers. It announces a server to the
// agent of its instance, tracks the requests that run, refuses requests of an
// agent that was replaced, and drains the server before it stops.
//
// A server that is written in another language speaks the same protocol: the
// types Announcement and Answer as JSON, and the headers named here. The rules
// for such a server are in docs/notes/admission.md.
package backend
