package record

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Location is a machine, in one session, on which tasks of one attempt may be.
type Location struct {
	Machine ids.Machine
	Session ids.Session
	Attempt ids.Attempt
	Token   ids.Generation
}

// PlaceGroup is the places whose starts carry one token. They are written as
// "machine:tasks machine/attempt:tasks machine/attempt/session:tasks", less what the
// machines' names begin with alike, the attempt and session that most have, and
// counted from the lowest task: spelled out as JSON objects, the places of a large
// array would not fit into a value, and it would run in many small batches.
type PlaceGroup struct {
	Token   ids.Generation `json:"g"`
	Session ids.Session    `json:"s"`
	Attempt ids.Attempt    `json:"a"`
	Prefix  string         `json:"p,omitempty"`
	Base    int            `json:"b,omitempty"`
	On      string         `json:"on"`
}

// each calls f for every place, in the order written.
func (pr *PlaceGroup) each(f func(task int, at Location)) error {
	for _, text := range strings.Fields(pr.On) {
		at := Location{Session: pr.Session, Attempt: pr.Attempt, Token: pr.Token}
		head, list, ok := strings.Cut(text, ":")
		parts := strings.Split(head, "/")
		if !ok || len(parts) > 3 {
			return fmt.Errorf("not a place: %.80q", text)
		}
		at.Machine = ids.Machine(pr.Prefix + parts[0])
		for k, part := range parts[1:] {
			n, err := strconv.ParseUint(part, 10, 64)
			if err != nil {
				return err
			}
			if k == 0 {
				at.Attempt = ids.Attempt(n)
			} else {
				at.Session = ids.Session(n)
			}
		}
		var tasks ids.Ranges
		if err := tasks.UnmarshalText([]byte(list)); err != nil {
			return err
		}
		tasks.Each(func(i int) { f(pr.Base+i, at) })
	}
	return nil
}

// write appends one machine's tasks of one attempt.
func (pr *PlaceGroup) write(to *strings.Builder, at Location, tasks *ids.Ranges) {
	if to.Len() > 0 {
		to.WriteByte(' ')
	}
	to.WriteString(string(at.Machine)[len(pr.Prefix):])
	if at.Attempt != pr.Attempt || at.Session != pr.Session {
		fmt.Fprintf(to, "/%d", at.Attempt)
	}
	if at.Session != pr.Session {
		fmt.Fprintf(to, "/%d", at.Session)
	}
	to.WriteByte(':')
	to.WriteString(tasks.String())
}

// EachPlace calls f for every task that may be on a machine.
func (r *Record) EachPlace(f func(task int, at Location)) {
	for k := range r.Places {
		if err := r.Places[k].each(f); err != nil {
			slog.Error("unreadable place", "job", r.Spec.ID, "err", err)
		}
	}
}

// TaskPlace is where a task may be.
type TaskPlace struct {
	Task int
	At   Location
}

// GroupPlaces writes places, lowest task first, so that a large job's record stays small.
func GroupPlaces(places []TaskPlace) []PlaceGroup {
	type group struct {
		rec      PlaceGroup
		on       map[Location]*ids.Ranges
		list     []Location
		attempts map[ids.Attempt]int
		sessions map[ids.Session]int
	}
	groups := map[ids.Generation]*group{}
	var order []*group
	for _, p := range places {
		g := groups[p.At.Token]
		if g == nil {
			g = &group{on: map[Location]*ids.Ranges{}, attempts: map[ids.Attempt]int{}, sessions: map[ids.Session]int{}}
			g.rec = PlaceGroup{Token: p.At.Token, Base: p.Task, Prefix: string(p.At.Machine)}
			groups[p.At.Token], order = g, append(order, g)
		}
		if g.on[p.At] == nil {
			g.on[p.At] = &ids.Ranges{}
			g.list = append(g.list, p.At)
			g.rec.Prefix = alike(g.rec.Prefix, string(p.At.Machine))
			g.attempts[p.At.Attempt]++
			g.sessions[p.At.Session]++
		}
		g.on[p.At].Add(p.Task - g.rec.Base)
	}
	out := make([]PlaceGroup, 0, len(order))
	for _, g := range order {
		g.rec.Attempt, g.rec.Session = most(g.attempts), most(g.sessions)
		var on strings.Builder
		for _, at := range g.list {
			g.rec.write(&on, at, g.on[at])
		}
		g.rec.On = on.String()
		out = append(out, g.rec)
	}
	return out
}

// most is the number counted most often, the lowest of equals.
func most[N ids.Attempt | ids.Session](count map[N]int) (best N) {
	for n, k := range count {
		if k > count[best] || k == count[best] && n < best {
			best = n
		}
	}
	return best
}

// alike is what two names begin with alike.
func alike(a, z string) string {
	n := 0
	for n < min(len(a), len(z)) && a[n] == z[n] {
		n++
	}
	return a[:n]
}

// PlacesSize is about how many bytes of a record its places take.
func PlacesSize(prs []PlaceGroup) (n int) {
	for i := range prs {
		n += 50 + len(prs[i].On) + len(prs[i].Prefix)
	}
	return n
}
