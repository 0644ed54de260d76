package dbgroup

import (
	"fmt"
	"strconv"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
)

// resultColumns returns the result columns of a statement, or nil if it returns
// no rows.
func resultColumns(st *sqltext.Statement) []column {
	switch st.Kind {
	case sqltext.SelectValue:
		return []column{{"value", oidText}}
	case sqltext.SelectCount:
		return []column{{"count", oidInt8}}
	case sqltext.SelectServer:
		return []column{{"server", oidText}}
	case sqltext.SelectOne:
		return []column{{"?column?", oidInt4}}
	case sqltext.SelectSleep:
		return []column{{"pg_sleep", oidText}}
	case sqltext.SelectWriteKV:
		return []column{{"write_kv", oidText}}
	case sqltext.SelectLog:
		return []column{{"entry", oidText}}
	case sqltext.Show:
		return []column{{st.Name, oidText}}
	}
	if st.Returning {
		return []column{{"value", oidText}}
	}
	return nil
}

// executeData executes a statement that reads or changes data. Changes stay in
// the transaction until it commits.
func (c *session) executeData(st *sqltext.Statement, args []string) (*result, *sqlError) {
	tx := c.transaction()
	switch st.Kind {
	case sqltext.SelectValue:
		if v, ok := c.lookupValue(args[0]); ok {
			return selectResult(st, v), nil
		}
		return selectResult(st), nil
	case sqltext.SelectCount:
		return selectResult(st, strconv.Itoa(c.countKeys())), nil
	case sqltext.SelectServer:
		return selectResult(st, c.server.Name()), nil
	case sqltext.SelectOne:
		return selectResult(st, "1"), nil
	case sqltext.SelectSleep:
		return selectResult(st, ""), nil
	case sqltext.SelectWriteKV:
		tx.put(args[0], args[1])
		return selectResult(st, args[1]), nil
	case sqltext.SelectLog:
		return selectResult(st, c.logEntries()...), nil
	case sqltext.Append:
		tx.append(args[0])
		return &result{commandTag: "APPEND 1"}, nil
	default:
		return c.executeChange(st, args)
	}
}

// executeChange executes an INSERT, UPSERT, UPDATE or DELETE.
func (c *session) executeChange(st *sqltext.Statement, args []string) (*result, *sqlError) {
	key := args[0]
	before, exists := c.lookupValue(key)
	switch st.Kind {
	case sqltext.Insert:
		if exists {
			return nil, duplicateKey(key)
		}
		c.tx.insert(key, args[1])
		return changeResult(st, "INSERT 0", true, args[1]), nil
	case sqltext.Upsert:
		c.tx.put(key, args[1])
		return changeResult(st, "UPSERT", true, args[1]), nil
	case sqltext.Update:
		if exists {
			c.tx.put(key, args[1])
		}
		return changeResult(st, "UPDATE", exists, args[1]), nil
	case sqltext.Delete:
		if exists {
			c.tx.remove(key)
		}
		return changeResult(st, "DELETE", exists, before), nil
	}
	return nil, errorf(codeNotSupported, "statement is not supported")
}

// selectResult returns a result with one row for each value.
func selectResult(st *sqltext.Statement, values ...string) *result {
	r := &result{columns: resultColumns(st), commandTag: fmt.Sprintf("SELECT %d", len(values))}
	for _, v := range values {
		r.rows = append(r.rows, []string{v})
	}
	return r
}

// changeResult returns the result of a statement that changed one row or none.
func changeResult(st *sqltext.Statement, command string, affected bool, value string) *result {
	r := &result{columns: resultColumns(st)}
	count := 0
	if affected {
		count = 1
	}
	if affected && st.Returning {
		r.rows = [][]string{{value}}
	}
	r.commandTag = fmt.Sprintf("%s %d", command, count)
	return r
}

// lookupValue returns the value of a key, including uncommitted changes of the
// transaction.
func (c *session) lookupValue(key string) (value string, exists bool) {
	if v, inTransaction := c.tx.changedValues[key]; inTransaction {
		if v == nil {
			return "", false
		}
		return *v, true
	}
	c.server.node.read(func(l *translog.Log) { value, exists = l.Value(key) })
	return value, exists
}

// countKeys returns the number of keys, including uncommitted changes of the
// transaction.
func (c *session) countKeys() int {
	var count int
	c.server.node.read(func(l *translog.Log) {
		count = l.KeyCount()
		for key, v := range c.tx.changedValues {
			_, committed := l.Value(key)
			switch {
			case committed && v == nil:
				count--
			case !committed && v != nil:
				count++
			}
		}
	})
	return count
}

func (c *session) logEntries() []string {
	var entries []string
	c.server.node.read(func(l *translog.Log) { entries = l.Entries() })
	return append(entries, c.tx.appendedEntries...)
}

func (tx *transaction) put(key, value string) {
	tx.changedValues[key] = &value
	tx.ops = append(tx.ops, translog.Op{Kind: translog.OpPut, Key: key, Value: value})
}

func (tx *transaction) insert(key, value string) {
	if _, inTransaction := tx.changedValues[key]; !inTransaction {
		tx.inserted[key] = true
	}
	tx.put(key, value)
}

func (tx *transaction) remove(key string) {
	tx.changedValues[key] = nil
	tx.ops = append(tx.ops, translog.Op{Kind: translog.OpDelete, Key: key})
}

func (tx *transaction) append(entry string) {
	tx.appendedEntries = append(tx.appendedEntries, entry)
	tx.ops = append(tx.ops, translog.Op{Kind: translog.OpAppend, Value: entry})
}
