package member

import "cmp"

// Cursor is the position of a change in one part of the platform state.
type Cursor struct {
	Era      uint64 // of the platform's store, which raises it when it comes back from an older copy; 0 if it states none
	Revision uint64 // of the store within that era
}

// Compare orders cursors by era, then by revision.
func (c Cursor) Compare(o Cursor) int {
	return cmp.Or(cmp.Compare(c.Era, o.Era), cmp.Compare(c.Revision, o.Revision))
}

// toWireCursors returns the revisions and eras of cursors. It leaves out the eras if the store states none, because VMs of
// earlier versions reject messages with fields that they do not know.
func toWireCursors(cursors []Cursor) (revisions, eras []uint64) {
	stated := false
	for _, c := range cursors {
		revisions = append(revisions, c.Revision)
		eras = append(eras, c.Era)
		stated = stated || c.Era > 0
	}
	if !stated {
		return revisions, nil
	}
	return revisions, eras
}

// fromWireCursors returns the cursors with the given revisions and eras, and none if the numbers of both differ. The eras may
// be absent.
func fromWireCursors(revisions, eras []uint64) []Cursor {
	if len(eras) > 0 && len(eras) != len(revisions) {
		return nil
	}
	var cursors []Cursor
	for i, r := range revisions {
		c := Cursor{Revision: r}
		if len(eras) > 0 {
			c.Era = eras[i]
		}
		cursors = append(cursors, c)
	}
	return cursors
}
