package worker

import "testing"

func TestLeastRecentlyUsedImagesAreEvicted(t *testing.T) {
	var images Images
	images.Use("a", 5, 10)
	images.Use("b", 4, 10)
	images.Use("a", 5, 10)
	images.Use("c", 4, 10)
	if !images.Has("a") || !images.Has("c") || images.Has("b") {
		t.Errorf("the cache holds %v, want a and c", images.Names)
	}
}
