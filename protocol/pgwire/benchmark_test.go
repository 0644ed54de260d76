package pgwire

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const benchmarkSQL = "SELECT value FROM kv WHERE key = 'skin-17'"

func BenchmarkCopyQuery(b *testing.B) {
	msg := &pgproto3.Query{String: benchmarkSQL}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := CloneMessage(msg); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCopyBind(b *testing.B) {
	msg := &pgproto3.Bind{PreparedStatement: "s1", Parameters: [][]byte{[]byte("skin-17")}, ParameterFormatCodes: []int16{0}}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := CloneMessage(msg); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAnalyse(b *testing.B) {
	s := make(PreparedStatements)
	b.ReportAllocs()
	for b.Loop() {
		s.Analyse(&Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: benchmarkSQL}}})
	}
}

func BenchmarkPrepare(b *testing.B) {
	batch := &Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: benchmarkSQL}}, Class: state.ClassRead}
	lookup := func(string) *pgproto3.Parse { return nil }
	for _, bm := range []struct {
		name   string
		owners uint64
	}{{"same session", 1}, {"other session", 2}} {
		b.Run(bm.name, func(b *testing.B) {
			c := &ConnectionState{}
			n := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				n++
				c.Prepare(Preparation{Owner: 1 + n%bm.owners, ReadOnly: true, Lookup: lookup}, batch)
			}
		})
	}
}

func BenchmarkAnswer(b *testing.B) {
	value := pgproto3.DataRow{Values: [][]byte{[]byte("reserved")}}
	columns := pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value")}}}
	done := pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	ready := pgproto3.ReadyForQuery{TxStatus: 'I'}
	b.ReportAllocs()
	for b.Loop() {
		a := NewAnswer(0)
		a.Add(&columns, true)
		a.Add(&value, true)
		a.Add(&done, true)
		if !a.Add(&ready, false).Ended {
			b.Fatal("the answer has not ended")
		}
	}
}
