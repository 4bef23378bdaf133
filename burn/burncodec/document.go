// Package burncodec encodes the documents and reports of package burn: the
// documents as compressed JSON for the object store, the reports as JSON for
// operators.
package burncodec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// maxDocumentBytes bounds a document after decompression. The most that one
// incarnation can hold takes about 8 MB.
const maxDocumentBytes = 32 << 20

// bucket is a bucket's index and counts without the zeros at the end.
type bucket []uint64

type series struct {
	Minutes []bucket `json:"minutes,omitempty"`
	Hours   []bucket `json:"hours,omitempty"`
}

type rowSeries struct {
	Row  string `json:"row"`
	Rank string `json:"rank"`
	series
}

type moveSeries struct {
	Action string `json:"action"`
	Cause  string `json:"cause"`
	series
}

type document struct {
	Format      int               `json:"format"`
	Instance    fleet.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Updated     time.Time         `json:"updated"`
	Ranks       map[string]series `json:"ranks"`
	Rows        []rowSeries       `json:"rows"`
	Moves       []moveSeries      `json:"moves"`
	Lost        uint64            `json:"lost,omitempty"`
}

// documentFormat changes when counters are removed or change their order.
// Counters that are added at the end read as 0 in older documents.
const documentFormat = 1

// EncodeDocument returns the document as compressed JSON.
func EncodeDocument(d burn.Document) ([]byte, error) {
	w := document{
		Format: documentFormat, Instance: d.Source.Instance, Incarnation: d.Source.Incarnation,
		Sequence: d.Sequence, Updated: d.Updated, Ranks: make(map[string]series), Lost: d.Lost,
	}
	for i := range d.Ranks {
		w.Ranks[fleet.Rank(i).String()] = seriesOf(&d.Ranks[i])
	}
	for i := range d.Rows {
		r := &d.Rows[i]
		w.Rows = append(w.Rows, rowSeries{Row: r.Key.Row, Rank: r.Key.Rank.String(), series: seriesOf(&r.Series)})
	}
	for i := range d.Moves {
		m := &d.Moves[i]
		w.Moves = append(w.Moves, moveSeries{Action: m.Move.Action, Cause: m.Move.Cause, series: seriesOf(&m.Series)})
	}
	var out bytes.Buffer
	zip, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	err = errors.Join(json.NewEncoder(zip).Encode(w), zip.Close())
	return out.Bytes(), err
}

// DecodeDocument is the inverse of EncodeDocument.
func DecodeDocument(data []byte) (burn.Document, error) {
	var d burn.Document
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return d, fmt.Errorf("decompress burn document: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(zip, maxDocumentBytes+1))
	if err != nil {
		return d, fmt.Errorf("decompress burn document: %w", err)
	}
	if len(text) > maxDocumentBytes {
		return d, fmt.Errorf("burn document is larger than %d bytes", maxDocumentBytes)
	}
	var w document
	if err := json.Unmarshal(text, &w); err != nil {
		return d, fmt.Errorf("read burn document: %w", err)
	}
	if w.Format != documentFormat {
		return d, fmt.Errorf("burn document has format %d, want %d", w.Format, documentFormat)
	}
	return documentOf(w)
}

func documentOf(w document) (burn.Document, error) {
	d := burn.Document{
		Source:   burn.Source{Instance: w.Instance, Incarnation: w.Incarnation},
		Sequence: w.Sequence, Updated: w.Updated, Lost: w.Lost,
	}
	var errs []error
	read := func(s series) burn.Series {
		out, err := s.decode()
		errs = append(errs, err)
		return out
	}
	for name, s := range w.Ranks {
		rank, err := fleet.ParseRank(name)
		errs = append(errs, err)
		d.Ranks[rank] = read(s)
	}
	for _, r := range w.Rows {
		rank, err := fleet.ParseRank(r.Rank)
		errs = append(errs, err)
		d.Rows = append(d.Rows, burn.RowSeries{Key: burn.Key{Row: r.Row, Rank: rank}, Series: read(r.series)})
	}
	for _, m := range w.Moves {
		d.Moves = append(d.Moves, burn.MoveSeries{Move: burn.Move{Action: m.Action, Cause: m.Cause}, Series: read(m.series)})
	}
	if err := errors.Join(errs...); err != nil {
		return burn.Document{}, fmt.Errorf("read burn document: %w", err)
	}
	return d, nil
}

func seriesOf(s *burn.Series) series {
	return series{Minutes: bucketsOf(s.Minutes), Hours: bucketsOf(s.Hours)}
}

func bucketsOf(buckets []burn.Bucket) []bucket {
	out := make([]bucket, len(buckets))
	for i := range buckets {
		counts := buckets[i].Counts[:]
		for len(counts) > 0 && counts[len(counts)-1] == 0 {
			counts = counts[:len(counts)-1]
		}
		out[i] = append(bucket{uint64(buckets[i].Index)}, counts...)
	}
	return out
}

func (s series) decode() (burn.Series, error) {
	minutes, err := decodeBuckets(s.Minutes)
	if err != nil {
		return burn.Series{}, err
	}
	hours, err := decodeBuckets(s.Hours)
	return burn.Series{Minutes: minutes, Hours: hours}, err
}

func decodeBuckets(buckets []bucket) ([]burn.Bucket, error) {
	var out []burn.Bucket
	for i, b := range buckets {
		if len(b) == 0 || len(b) > 1+burn.CounterCount {
			return nil, fmt.Errorf("bucket %d has %d numbers", i, len(b))
		}
		next := burn.Bucket{Index: int64(b[0])}
		copy(next.Counts[:], b[1:])
		if len(out) > 0 && out[len(out)-1].Index >= next.Index {
			return nil, fmt.Errorf("bucket %d is out of order", i)
		}
		out = append(out, next)
	}
	return out, nil
}
