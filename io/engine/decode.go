package engine

import "github.com/goccy/go-json"

// decodePiece decodes the data of one event into piece, which must be zero.
func decodePiece(data []byte, piece *wirePiece) error {
	return json.Unmarshal(data, piece)
}
