package dbgroup

import (
	"fmt"
	"strconv"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
)

// columnsOf returns the columns of a statement's result; none if it returns no
// rows.
func columnsOf(st *sqltext.Statement) []column {
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

// perform executes a statement on data. Changes stay in the transaction.
func (c *session) perform(st *sqltext.Statement, args []string) (*result, *sqlError) {
	tx := c.transaction()
	switch st.Kind {
	case sqltext.SelectValue:
		if v, ok := c.value(args[0]); ok {
			return selected(st, v), nil
		}
		return selected(st), nil
	case sqltext.SelectCount:
		return selected(st, strconv.Itoa(c.countKeys())), nil
	case sqltext.SelectServer:
		return selected(st, c.server.Name()), nil
	case sqltext.SelectOne:
		return selected(st, "1"), nil
	case sqltext.SelectSleep:
		return selected(st, ""), nil
	case sqltext.SelectWriteKV:
		tx.put(args[0], args[1])
		return selected(st, args[1]), nil
	case sqltext.SelectLog:
		return selected(st, c.logEntries()...), nil
	case sqltext.Append:
		tx.append(args[0])
		return &result{tag: "APPEND 1"}, nil
	default:
		return c.change(st, args)
	}
}

// change executes a statement on one key.
func (c *session) change(st *sqltext.Statement, args []string) (*result, *sqlError) {
	key := args[0]
	before, exists := c.value(key)
	switch st.Kind {
	case sqltext.Insert:
		if exists {
			return nil, duplicateKey(key)
		}
		c.tx.insert(key, args[1])
		return changed(st, "INSERT 0", true, args[1]), nil
	case sqltext.Upsert:
		c.tx.put(key, args[1])
		return changed(st, "UPSERT", true, args[1]), nil
	case sqltext.Update:
		if exists {
			c.tx.put(key, args[1])
		}
		return changed(st, "UPDATE", exists, args[1]), nil
	case sqltext.Delete:
		if exists {
			c.tx.remove(key)
		}
		return changed(st, "DELETE", exists, before), nil
	}
	return nil, errorf(codeNotSupported, "statement is not supported")
}

// selected returns rows of one value each.
func selected(st *sqltext.Statement, values ...string) *result {
	r := &result{columns: columnsOf(st), tag: fmt.Sprintf("SELECT %d", len(values))}
	for _, v := range values {
		r.rows = append(r.rows, []string{v})
	}
	return r
}

// changed returns the result of a change to one row or none.
func changed(st *sqltext.Statement, command string, any bool, value string) *result {
	r := &result{columns: columnsOf(st)}
	count := 0
	if any {
		count = 1
	}
	if any && st.Returning {
		r.rows = [][]string{{value}}
	}
	r.tag = fmt.Sprintf("%s %d", command, count)
	return r
}

// value returns the value of a key as the transaction sees it.
func (c *session) value(key string) (value string, exists bool) {
	if v, own := c.tx.values[key]; own {
		if v == nil {
			return "", false
		}
		return *v, true
	}
	c.server.node.read(func(l *translog.Log) { value, exists = l.Value(key) })
	return value, exists
}

// countKeys returns the number of keys as the transaction sees it.
func (c *session) countKeys() int {
	var n int
	c.server.node.read(func(l *translog.Log) {
		n = l.KeyCount()
		for key, v := range c.tx.values {
			_, committed := l.Value(key)
			switch {
			case committed && v == nil:
				n--
			case !committed && v != nil:
				n++
			}
		}
	})
	return n
}

func (c *session) logEntries() []string {
	var entries []string
	c.server.node.read(func(l *translog.Log) { entries = l.Entries() })
	return append(entries, c.tx.entries...)
}

func (tx *transaction) put(key, value string) {
	tx.values[key] = &value
	tx.ops = append(tx.ops, translog.Op{Kind: translog.OpPut, Key: key, Value: value})
}

func (tx *transaction) insert(key, value string) {
	if _, own := tx.values[key]; !own {
		tx.inserted[key] = true
	}
	tx.put(key, value)
}

func (tx *transaction) remove(key string) {
	tx.values[key] = nil
	tx.ops = append(tx.ops, translog.Op{Kind: translog.OpDelete, Key: key})
}

func (tx *transaction) append(entry string) {
	tx.entries = append(tx.entries, entry)
	tx.ops = append(tx.ops, translog.Op{Kind: translog.OpAppend, Value: entry})
}
