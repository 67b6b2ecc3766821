// Package contracts keeps an entry's view of the accepted configuration and
// makes changes to it.
//
// The table service decides: it has one row for each contract and one revision
// row that every accepted change increases in the same transaction. The view
// only ever moves to a higher revision. A view that could not be confirmed for
// a while because its process was paused is confirmed before it is used again.
package contracts
