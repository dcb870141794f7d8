package worker

import "slices"

// Images is an estimate of the images in a machine's cache: the most recently used ones that fit into it.
// It is an estimate because workers do not report their images. Controllers send it to one
// another in a message type of package peer, to which it is converted.
type Images struct {
	Names []string  // most recently used first
	Sizes []float64 // in gigabytes, by the index of Names
}

// Copy returns a deep copy.
func (im *Images) Copy() Images {
	return Images{append([]string(nil), im.Names...), append([]float64(nil), im.Sizes...)}
}

// Use makes an image the most recently used one and drops those that no longer fit into a cache of
// cacheGB gigabytes.
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

// Has reports whether the image is probably in the cache.
func (im *Images) Has(name string) bool { return slices.Contains(im.Names, name) }
