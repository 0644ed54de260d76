package main

import (
	"fmt"
	"time"
)

// smuggledLine sends writes whose data holds a line feed, followed by the text of another
// message. A message ends with CR LF.
func smuggledLine(tb *testbed, trouble bool) error {
	_, front, _, err := smallDeployment(tb)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	a := &attempts{byID: make(map[string]sent)}
	for i := range 3 {
		c, err := dial(tb.record, fmt.Sprintf("client-%d", i), front.front(), testRoutes[0].Database, testTenants[0].Key)
		if err != nil {
			return err
		}
		separator := " "
		if trouble {
			separator = "\n"
		}
		id := newID()
		text := fmt.Sprintf("WRITE lot%d first line%sQUERY %s WRITE lot99 second line", i, separator, newID())
		a.add(id, sent{c.name, testTenants[0].Name, text})
		tb.record.add("client %s: sends %s %q", c.name, id, text)
		answer := c.exchange(id, text)
		tb.record.add("client %s: answer to %s: %s", c.name, id, answer)
		time.Sleep(200 * time.Millisecond)
		c.close()
	}
	checkTransactions(tb.record, a)
	return nil
}
