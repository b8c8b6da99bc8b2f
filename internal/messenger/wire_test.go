package messenger

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

var messages = []reducer.PeerMessage{
	reducer.Exchange{},
	reducer.Intent{},
	reducer.Grant{},
	reducer.Denial{},
	reducer.Fence{},
	reducer.FenceAnswer{},
	reducer.ResultCopy{},
	reducer.ConfigRequest{},
	reducer.ConfigAnswer{},
	reducer.StoreCopy{},
	reducer.StoreRequest{},
}

// fill sets every field of v recursively, so that a field that is not encoded causes a
// difference.
func fill(t *testing.T, v reflect.Value) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)))
		return
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("[::1]:9")))
		return
	case patcher.Period:
		v.Set(reflect.ValueOf(patcher.Period{Duration: time.Minute}))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			// A blank field only holds the options of the codec.
			if v.Type().Field(i).Name == "_" {
				continue
			}
			if !v.Type().Field(i).IsExported() {
				t.Fatalf("field %s of %s is not exported", v.Type().Field(i).Name, v.Type())
			}
			fill(t, v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0))
		fill(t, v.Index(1))
	case reflect.Map:
		k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, k)
		fill(t, e)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(k, e)
	case reflect.Interface:
		if v.Type() != reflect.TypeFor[patcher.Operation]() {
			t.Fatalf("type %s has no wire form", v.Type())
		}
		v.Set(reflect.ValueOf(patcher.RemoveService{Name: "s"}))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64, reflect.Float32:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(-7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	default:
		t.Fatalf("type %s has no wire form", v.Type())
	}
}

// TestRoundTrip guards against a message field that is lost or changed by encoding, and
// against a message type without a number.
func TestRoundTrip(t *testing.T) {
	for _, m := range messages {
		t.Run(reflect.TypeOf(m).Name(), func(t *testing.T) {
			is := is.New(t)
			v := reflect.New(reflect.TypeOf(m)).Elem()
			fill(t, v)
			w, err := encode(v.Interface().(reducer.PeerMessage))
			is.NoErr(err)
			got, err := decode(w)
			is.NoErr(err)
			is.Equal(got, v.Interface())
		})
	}
}

// TestPatchRoundTrip guards against losing the operations of a patch, which only have a
// JSON encoding.
func TestPatchRoundTrip(t *testing.T) {
	is := is.New(t)
	in := struct{ Patches []patcher.Patch }{[]patcher.Patch{{
		ID: "p", Base: 3, Actor: "o", Operations: []patcher.Operation{patcher.RemoveService{Name: "s"}},
	}}}
	b, err := encoder.Marshal(in)
	is.NoErr(err)
	out := in
	out.Patches = nil
	is.NoErr(decoder.Unmarshal(b, &out))
	is.Equal(out, in)
}

// TestLimits guards against malicious bodies that exhaust memory or stack.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		body []byte
	}{
		{"deep", append(bytes.Repeat([]byte{0x81}, maxNested+2), 0x00)},
		{"long array", []byte{0x9a, 0xff, 0xff, 0xff, 0xff}},
		{"long map", []byte{0xba, 0xff, 0xff, 0xff, 0xff}},
		{"long text", []byte{0x7a, 0xff, 0xff, 0xff, 0xff}},
		{"indefinite", []byte{0x9f, 0xff}},
		{"too large", make([]byte, maxBatch+1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b batch
			is.New(t).True(batchEncoding{}.Unmarshal(c.body, &b) != nil)
		})
	}
}

// FuzzDecode guards against a panic on any body that a peer may send, and against
// messages that can be decoded but not encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		w, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		b, err := batchEncoding{}.Marshal(batch{From: "a", FromIncarnation: 1, Messages: []wireMessage{w}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var b batch
		if err := (batchEncoding{}).Unmarshal(body, &b); err != nil {
			return
		}
		for _, w := range b.Messages {
			m, err := decode(w)
			if err != nil {
				continue
			}
			if _, err := encode(m); err != nil {
				t.Fatalf("%#v can't be encoded: %v", m, err)
			}
		}
	})
}
