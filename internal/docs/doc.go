// Package docs contains only tests, which check that references to code in the documentation are correct.
package docs
