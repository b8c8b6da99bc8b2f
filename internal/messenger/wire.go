package messenger

import (
	"encoding/json"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// Limits for batches from a peer. A configuration at the target size (1,300 upstreams)
// takes about 300 KB. The longest arrays hold the upstreams of one service.
const (
	maxBatch    = 4 << 20
	maxNested   = 16
	maxElements = 16 << 10
	maxPairs    = 4 << 10
)

// Message type numbers. The meaning of a number must never change.
const (
	typeExchange      = 1
	typeIntent        = 2
	typeGrant         = 3
	typeDenial        = 4
	typeFence         = 5
	typeFenceAnswer   = 6
	typeResultCopy    = 7
	typeConfigRequest = 8
	typeConfigAnswer  = 9
	typeStoreCopy     = 10
	typeStoreRequest  = 11
)

// batch is the content of one drpc message.
type batch struct {
	From            string
	FromIncarnation uint64
	// ForIncarnation is the incarnation of the receiver to which the messages are
	// addressed, or 0 for any.
	ForIncarnation uint64
	Messages       []wireMessage
}

type wireMessage struct {
	Type uint16
	Body cbor.RawMessage
}

// jsonTranscoder represents types that only have a JSON encoding, such as patches, as CBOR
// byte strings.
type jsonTranscoder struct {
	encode func(w io.Writer, v any) error
	decode func(r io.Reader) ([]byte, error)
}

// Transcode converts one item from src and writes it to dst.
func (t jsonTranscoder) Transcode(dst io.Writer, src io.Reader) error {
	b, err := t.decode(src)
	if err != nil {
		return err
	}
	return t.encode(dst, b)
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{
		Time:          cbor.TimeRFC3339NanoUTC,
		TextMarshaler: cbor.TextMarshalerTextString,
		JSONMarshalerTranscoder: jsonTranscoder{
			decode: io.ReadAll,
			encode: func(w io.Writer, v any) error { return cbor.NewEncoder(w).Encode(v) },
		},
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNested,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
		JSONUnmarshalerTranscoder: jsonTranscoder{
			decode: func(r io.Reader) ([]byte, error) {
				var b []byte
				err := cbor.NewDecoder(r).Decode(&b)
				return b, err
			},
			encode: func(w io.Writer, v any) error {
				if !json.Valid(v.([]byte)) {
					return errors.New("byte string is not valid JSON")
				}
				_, err := w.Write(v.([]byte))
				return err
			},
		},
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func typeOf(m reducer.PeerMessage) (uint16, error) {
	switch m.(type) {
	case reducer.Exchange:
		return typeExchange, nil
	case reducer.Intent:
		return typeIntent, nil
	case reducer.Grant:
		return typeGrant, nil
	case reducer.Denial:
		return typeDenial, nil
	case reducer.Fence:
		return typeFence, nil
	case reducer.FenceAnswer:
		return typeFenceAnswer, nil
	case reducer.ResultCopy:
		return typeResultCopy, nil
	case reducer.ConfigRequest:
		return typeConfigRequest, nil
	case reducer.ConfigAnswer:
		return typeConfigAnswer, nil
	case reducer.StoreCopy:
		return typeStoreCopy, nil
	case reducer.StoreRequest:
		return typeStoreRequest, nil
	default:
		return 0, errors.Errorf("unknown message type %T", m)
	}
}

func encode(m reducer.PeerMessage) (wireMessage, error) {
	t, err := typeOf(m)
	if err != nil {
		return wireMessage{}, err
	}
	body, err := encoder.Marshal(m)
	return wireMessage{Type: t, Body: body}, err
}

func decode(w wireMessage) (reducer.PeerMessage, error) {
	switch w.Type {
	case typeExchange:
		return decodeAs[reducer.Exchange](w.Body)
	case typeIntent:
		return decodeAs[reducer.Intent](w.Body)
	case typeGrant:
		return decodeAs[reducer.Grant](w.Body)
	case typeDenial:
		return decodeAs[reducer.Denial](w.Body)
	case typeFence:
		return decodeAs[reducer.Fence](w.Body)
	case typeFenceAnswer:
		return decodeAs[reducer.FenceAnswer](w.Body)
	case typeResultCopy:
		return decodeAs[reducer.ResultCopy](w.Body)
	case typeConfigRequest:
		return decodeAs[reducer.ConfigRequest](w.Body)
	case typeConfigAnswer:
		return decodeAs[reducer.ConfigAnswer](w.Body)
	case typeStoreCopy:
		return decodeAs[reducer.StoreCopy](w.Body)
	case typeStoreRequest:
		return decodeAs[reducer.StoreRequest](w.Body)
	default:
		return nil, errors.Errorf("unknown message type %d", w.Type)
	}
}

func decodeAs[M reducer.PeerMessage](body []byte) (reducer.PeerMessage, error) {
	var m M
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// batchEncoding is the drpc encoding of a batch.
type batchEncoding struct{}

// Marshal encodes a batch in CBOR.
func (batchEncoding) Marshal(m drpc.Message) ([]byte, error) { return encoder.Marshal(m) }

// Unmarshal decodes a batch from CBOR. It fails if the batch exceeds a limit.
func (batchEncoding) Unmarshal(buf []byte, m drpc.Message) error {
	if len(buf) > maxBatch {
		return errors.Errorf("batch has %d bytes, want at most %d", len(buf), maxBatch)
	}
	return decoder.Unmarshal(buf, m)
}
