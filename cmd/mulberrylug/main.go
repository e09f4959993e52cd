// Command mulberrylug serves generations of unknown length on heavily loaded
// engines. Package cli has its commands.
package main

import (
	"os"

	"mulberrylug.example/mulberrylug/internal/cli"
)

func main() { os.Exit(cli.Main()) }
