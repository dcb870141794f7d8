// Package docs has tests only: what the pages say of the code must be there.
package docs
