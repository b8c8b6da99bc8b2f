package gossiper

// Exchange carries a membership digest.
type Exchange struct{ Reply bool }
