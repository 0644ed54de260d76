package dbgroup

import "github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"

// executeControl executes a statement on the transaction or the settings. Such
// statements need no slot and no execution time.
func (c *session) executeControl(st *sqltext.Statement) (*result, *sqlError) {
	switch st.Kind {
	case sqltext.Begin:
		c.begin(st.AccessMode)
		return &result{commandTag: "BEGIN"}, nil
	case sqltext.Commit:
		return c.executeCommit()
	case sqltext.Rollback:
		c.rollback()
		return &result{commandTag: "ROLLBACK"}, nil
	case sqltext.SetTransaction:
		c.tx.setMode(st.AccessMode)
		return &result{commandTag: "SET"}, nil
	case sqltext.Show:
		return c.executeShow(st)
	case sqltext.DiscardAll:
		return c.executeDiscardAll()
	default:
		return c.executeSetting(st)
	}
}

func (c *session) executeCommit() (*result, *sqlError) {
	if c.tx != nil && c.tx.failed {
		c.rollback()
		return &result{commandTag: "ROLLBACK"}, nil
	}
	if c.tx == nil {
		return &result{commandTag: "COMMIT"}, nil
	}
	if err := c.commit(); err != nil {
		return nil, err
	}
	return &result{commandTag: "COMMIT"}, nil
}

func (c *session) executeSetting(st *sqltext.Statement) (*result, *sqlError) {
	if st.Kind == sqltext.ResetAll {
		c.restoreSettings(c.initialSettings)
		return &result{commandTag: "RESET"}, nil
	}
	tag, value := "SET", st.Value
	if st.Kind == sqltext.Reset {
		tag = "RESET"
	}
	if st.Kind == sqltext.Reset || st.Default {
		value = c.initialSettings[st.Name]
	}
	if st.Name == settingTransactionReadOnly {
		return c.setTransactionMode(value)
	}
	if before := c.settings[st.Name]; st.Local {
		c.tx.settingsBeforeLocal[st.Name] = before
	}
	return &result{commandTag: tag}, c.setSetting(st.Name, value)
}

func (c *session) setTransactionMode(value string) (*result, *sqlError) {
	on, ok := parseBool(value)
	if !ok {
		return nil, errorf(codeInvalidSetting, "parameter %q requires a Boolean value", settingTransactionReadOnly)
	}
	c.tx.readOnly = on
	return &result{commandTag: "SET"}, nil
}

func (c *session) executeShow(st *sqltext.Statement) (*result, *sqlError) {
	value, known := c.settings[st.Name]
	if st.Name == settingTransactionReadOnly {
		known, value = true, "off"
		if c.tx.readOnly {
			value = "on"
		}
	}
	if !known {
		return nil, errorf(codeUndefinedSetting, "unrecognized configuration parameter %q", st.Name)
	}
	return &result{columns: resultColumns(st), rows: [][]string{{value}}, commandTag: "SHOW"}, nil
}

// executeDiscardAll resets the session to its state after login.
func (c *session) executeDiscardAll() (*result, *sqlError) {
	if c.tx.explicit {
		return nil, errorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	c.restoreSettings(c.initialSettings)
	clear(c.preparedStatements)
	clear(c.portals)
	return &result{commandTag: "DISCARD ALL"}, nil
}
