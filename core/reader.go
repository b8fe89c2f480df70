package core

// ReadyReader is a PieceReader that reports whether its next piece has already
// arrived. Relays flush their output when it has not.
type ReadyReader interface {
	PieceReader
	// Ready reports whether Next returns without blocking.
	Ready() bool
}

// NamedReader is a PieceReader that knows the ID of its stream before the first piece,
// so that the stream can be cancelled while its prompt is computed.
type NamedReader interface {
	PieceReader
	// Stream returns the engine's ID of the stream, or "" if the engine sent none.
	Stream() string
}
