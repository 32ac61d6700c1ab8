package endpoint

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// The form in which engines send nearly every piece.
var (
	piecePrefix = []byte(`{"offset":`)
	pieceMiddle = []byte(`,"text":"`)
	pieceSuffix = []byte(`"}`)
)

// maxOffsetDigits keeps the offset within an int.
const maxOffsetDigits = 18

// decodePiece reads an event's data. It runs once a token, so the usual form,
// without escapes, is read without encoding/json; all else goes there.
func decodePiece(data []byte) (engineapi.Piece, error) {
	if piece, ok := plainPiece(data); ok {
		return piece, nil
	}
	var piece engineapi.Piece
	err := json.Unmarshal(data, &piece)
	return piece, err
}

func plainPiece(data []byte) (engineapi.Piece, bool) {
	var piece engineapi.Piece
	rest, ok := bytes.CutPrefix(data, piecePrefix)
	if !ok {
		return piece, false
	}
	digits, text, ok := bytes.Cut(rest, pieceMiddle)
	if !ok || !plainDigits(digits) {
		return piece, false
	}
	text, ok = bytes.CutSuffix(text, pieceSuffix)
	if !ok || !plainText(text) {
		return piece, false
	}
	piece.Offset, _ = strconv.Atoi(string(digits))
	piece.Text = string(text)
	return piece, true
}

// plainDigits accepts a number as JSON writes it: no sign, no leading zero.
func plainDigits(digits []byte) bool {
	if len(digits) == 0 || len(digits) > maxOffsetDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return digits[0] != '0' || len(digits) == 1
}

// plainText accepts what stands for itself within a JSON string.
func plainText(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
