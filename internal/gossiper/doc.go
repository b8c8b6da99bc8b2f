// Package gossiper maintains an entry's view of the other entries by gossip: their
// states, and the evidence that a majority of them was heard from recently.
package gossiper
