// Package gossiper keeps an entry's view of the other entries.
package gossiper
