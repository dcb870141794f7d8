package worker

import "slices"

// Images estimates which images a machine still holds: the most recently used that fit its cache.
// Workers do not report them. The controllers send it to one another: encoding/gob sends the names
// of its fields.
type Images struct {
	Names []string  // most recently used first
	Sizes []float64 // in gigabytes, by the index of Names
}

// Copy is a copy that shares nothing.
func (im *Images) Copy() Images {
	return Images{append([]string(nil), im.Names...), append([]float64(nil), im.Sizes...)}
}

// Use moves an image to the front and drops what no longer fits a cache of so many gigabytes.
func (im *Images) Use(name string, sizeGB, cacheGB float64) {
	names, sizes := []string{name}, []float64{sizeGB}
	used := sizeGB
	for i, other := range im.Names {
		if other == name {
			continue
		}
		if used += im.Sizes[i]; used > cacheGB {
			break
		}
		names, sizes = append(names, other), append(sizes, im.Sizes[i])
	}
	im.Names, im.Sizes = names, sizes
}

// Has tells whether the image is likely there.
func (im *Images) Has(name string) bool { return slices.Contains(im.Names, name) }
