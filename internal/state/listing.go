package state

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// listPageSize is the largest number of entries requested by one call.
const listPageSize = 1000

// maxListings is the largest number of listings that ListAll makes before it fails.
const maxListings = 3

// errIncompleteChanges means that a response may lack changes, because an outage has begun or the store
// rejects this node.
var errIncompleteChanges = fmt.Errorf("%w: watch response may lack changes", ErrRefused)

// listing holds the entries of all pages of a listing. The store may have changed between two pages, so
// the entries need not have existed together at any moment.
type listing struct {
	entries                     []Entry
	pages                       int
	firstRevision, lastRevision ids.StoreRevision // of the first and of the last page
}

// ListAll reads all entries below a prefix, as they were together at the store revision that it returns: a
// key that moves while the pages are read is returned once. A watch from that revision misses no change.
// The entries are sorted by key. It returns an error if the changes between the pages can't be read.
func (c *Client) ListAll(ctx context.Context, prefix string, priority Priority) ([]Entry, ids.StoreRevision, error) {
	var previous listing
	for range maxListings {
		listed, err := c.listPages(ctx, prefix, priority)
		if err != nil {
			return nil, 0, err
		}
		if previous.pages > 0 && listed.hasSameEntries(&previous) {
			// None of the entries changed between their reads, so all of them existed at the end of
			// the previous listing.
			return listed.entries, previous.lastRevision, nil
		}
		entries, storeRevision, err := c.complete(ctx, prefix, &listed, priority)
		if !errors.Is(err, errCompacted) {
			return entries, storeRevision, err
		}
		previous = listed
	}
	return nil, 0, fmt.Errorf("%w: changes between the pages of %d listings are compacted", ErrRefused, maxListings)
}

// complete returns the entries of a listing after the changes that were made between its pages, and the
// store revision of the result. It returns errCompacted if the store no longer keeps the newest known
// change below the prefix, which proves that a response contains all changes.
func (c *Client) complete(ctx context.Context, prefix string, listed *listing, priority Priority) ([]Entry, ids.StoreRevision, error) {
	if listed.firstRevision == listed.lastRevision {
		return listed.entries, listed.firstRevision, nil
	}
	changes, storeRevision, err := c.changesSince(ctx, prefix, listed.firstRevision, listed.lastRevision, newestEntry(listed.entries), priority)
	slog.Debug("store changed while its keys were listed", "prefix", prefix, "pages", listed.pages,
		"first", listed.firstRevision, "last", listed.lastRevision, "changes", len(changes), "err", err)
	if err != nil {
		return nil, 0, err
	}
	return listed.apply(changes), storeRevision, nil
}

// listPages reads all pages of the entries below a prefix.
func (c *Client) listPages(ctx context.Context, prefix string, priority Priority) (listing, error) {
	var listed listing
	after := ""
	for {
		entries, more, storeRevision, err := c.List(ctx, prefix, after, listPageSize, priority)
		if err != nil {
			return listing{}, err
		}
		if listed.pages == 0 {
			listed.firstRevision = storeRevision
		}
		listed.pages++
		listed.lastRevision = storeRevision
		listed.entries = append(listed.entries, entries...)
		if !more || len(entries) == 0 {
			return listed, nil
		}
		after = entries[len(entries)-1].Key
	}
}

// apply returns the entries after the changes that were made since the first page, sorted by key.
func (l *listing) apply(changes []Change) []Entry {
	byKey := make(map[string]Entry, len(l.entries))
	for _, entry := range l.entries {
		byKey[entry.Key] = entry
	}
	applyChanges(byKey, l.firstRevision, changes)
	return sortedByKey(byKey)
}

// hasSameEntries reports whether two listings contain the same keys with the same revisions.
func (l *listing) hasSameEntries(other *listing) bool {
	return slices.EqualFunc(l.entries, other.entries, func(x, y Entry) bool {
		return x.Key == y.Key && x.Revision == y.Revision
	})
}

// changesSince returns all changes below a prefix after a store revision, up to the store revision that it
// returns, which is at least upTo. A plain read must have returned upTo before the call. newestKnown is the
// revision of the newest known change below the prefix, 0 if there is none.
func (c *Client) changesSince(ctx context.Context, prefix string, after, upTo ids.StoreRevision, newestKnown ids.Revision, priority Priority) ([]Change, ids.StoreRevision, error) {
	if newestKnown > 0 {
		// A response without changes may also mean that the store did not read them, because an
		// outage has begun meanwhile or the store rejects this node. So the watch also requests
		// the newest change already known: a response without it is not valid.
		after = min(after, ids.StoreRevision(newestKnown)-1)
	}
	storeRevision, changes, err := c.watchChanges(ctx, prefix, after, 0, priority)
	switch {
	case err != nil:
		return nil, 0, err
	case storeRevision < upTo:
		return nil, 0, fmt.Errorf("%w: changes up to store revision %d only, want %d", errIncompleteChanges, storeRevision, upTo)
	case newestKnown > 0 && !hasRevision(changes, newestKnown):
		return nil, 0, fmt.Errorf("%w: the newest known change is missing", errIncompleteChanges)
	}
	// The watch was made after the plain read, so its response includes all changes up to upTo. Only the
	// returned changes prove that the response also includes later ones.
	return changes, max(upTo, newestRevision(changes)), nil
}

// applyChanges applies changes to a copy of entries that has all changes up to a store revision, and maybe
// later changes of some keys. It returns those that the copy did not have yet. The result reuses the memory
// of changes.
func applyChanges(entries map[string]Entry, storeRevision ids.StoreRevision, changes []Change) (applied []Change) {
	applied = changes[:0]
	for _, change := range changes {
		if ids.StoreRevision(change.Revision) <= storeRevision || change.Revision <= entries[change.Key()].Revision {
			continue
		}
		applied = append(applied, change)
		if change.Put != "" {
			entries[change.Put] = Entry{Key: change.Put, Value: change.Value, Revision: change.Revision}
		} else {
			delete(entries, change.Remove)
		}
	}
	return applied
}

// sortedByKey returns the entries of a map, sorted by key.
func sortedByKey(entries map[string]Entry) []Entry {
	byKey := func(x, y Entry) int { return cmp.Compare(x.Key, y.Key) }
	sorted := slices.AppendSeq(make([]Entry, 0, len(entries)), maps.Values(entries))
	slices.SortFunc(sorted, byKey)
	return sorted
}

// newestEntry returns the revision of the entry that was written last; 0 if there are no entries.
func newestEntry(entries []Entry) (newest ids.Revision) {
	for _, entry := range entries {
		newest = max(newest, entry.Revision)
	}
	return newest
}

// newestRevision returns the store revision of the newest change; 0 if there is none.
func newestRevision(changes []Change) (newest ids.StoreRevision) {
	for _, change := range changes {
		newest = max(newest, ids.StoreRevision(change.Revision))
	}
	return newest
}

// hasRevision reports whether any of the changes has a revision.
func hasRevision(changes []Change, revision ids.Revision) bool {
	return slices.ContainsFunc(changes, func(change Change) bool { return change.Revision == revision })
}
