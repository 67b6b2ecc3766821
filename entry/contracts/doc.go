// Package contracts keeps an entry's view of the accepted configuration and
// makes changes to it.
//
// The table service decides which changes are accepted. It has a row for each
// contract and one row with the revision, which every accepted change increases
// in the same transaction. The view only ever moves to a higher revision.
// After a pause of the process, the next request waits until the process has
// confirmed the view again.
package contracts
