// Package standard registers the modules that the released binary contains.
package standard
