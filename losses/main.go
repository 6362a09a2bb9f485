package main

import (
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

// run reads log lines from in and writes the table of the finished requests to out.
func run(in io.Reader, out io.Writer) error {
	t := newTally()
	if err := t.read(in); err != nil {
		return err
	}
	return t.write(out)
}
