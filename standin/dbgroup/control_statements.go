package dbgroup

import "github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"

// control executes a statement on the transaction or the settings. It takes no
// slot and no time.
func (c *session) control(st *sqltext.Statement) (*result, *sqlError) {
	switch st.Kind {
	case sqltext.Begin:
		c.begin(st.AccessMode)
		return &result{tag: "BEGIN"}, nil
	case sqltext.Commit:
		return c.commitStatement()
	case sqltext.Rollback:
		c.rollback()
		return &result{tag: "ROLLBACK"}, nil
	case sqltext.SetTransaction:
		c.tx.setMode(st.AccessMode)
		return &result{tag: "SET"}, nil
	case sqltext.Show:
		return c.show(st)
	case sqltext.DiscardAll:
		return c.discardAll()
	default:
		return c.changeSetting(st)
	}
}

func (c *session) commitStatement() (*result, *sqlError) {
	if c.tx != nil && c.tx.failed {
		c.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.tx == nil {
		return &result{tag: "COMMIT"}, nil
	}
	if err := c.commit(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

func (c *session) changeSetting(st *sqltext.Statement) (*result, *sqlError) {
	if st.Kind == sqltext.ResetAll {
		c.restoreSettings(c.initial)
		return &result{tag: "RESET"}, nil
	}
	tag, value := "SET", st.Value
	if st.Kind == sqltext.Reset {
		tag = "RESET"
	}
	if st.Kind == sqltext.Reset || st.Default {
		value = c.initial[st.Name]
	}
	if st.Name == settingTxReadOnly {
		return c.setTransactionMode(value)
	}
	if before := c.settings[st.Name]; st.Local {
		c.tx.local[st.Name] = before
	}
	return &result{tag: tag}, c.setting(st.Name, value)
}

func (c *session) setTransactionMode(value string) (*result, *sqlError) {
	on, ok := parseBool(value)
	if !ok {
		return nil, errorf(codeInvalidSetting, "parameter %q requires a Boolean value", settingTxReadOnly)
	}
	c.tx.readOnly = on
	return &result{tag: "SET"}, nil
}

func (c *session) show(st *sqltext.Statement) (*result, *sqlError) {
	value, known := c.settings[st.Name]
	if st.Name == settingTxReadOnly {
		known, value = true, "off"
		if c.tx.readOnly {
			value = "on"
		}
	}
	if !known {
		return nil, errorf(codeUnknownSetting, "unrecognized configuration parameter %q", st.Name)
	}
	return &result{columns: columnsOf(st), rows: [][]string{{value}}, tag: "SHOW"}, nil
}

// discardAll gives the session the state that it had at its start.
func (c *session) discardAll() (*result, *sqlError) {
	if c.tx.explicit {
		return nil, errorf(codeActiveTx, "DISCARD ALL cannot run inside a transaction block")
	}
	c.restoreSettings(c.initial)
	clear(c.prepared)
	clear(c.portals)
	return &result{tag: "DISCARD ALL"}, nil
}
