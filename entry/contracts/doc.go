// Package contracts keeps an entry's view of the accepted configuration and
// makes changes to it.
//
// The table service decides which changes are accepted. It has one row for each
// contract and one revision row, and every accepted change increases the
// revision in the same transaction. The view only ever moves to a higher
// revision. If a process was paused and could not confirm its view for a while,
// it confirms the view before using it again.
package contracts
