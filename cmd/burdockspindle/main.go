// Command burdockspindle is the program of the project; package cli implements
// its commands.
package main

import (
	"context"
	"os"

	_ "github.com/burdockspindle/burdockspindle/capacity" // registers the command capacity
	"github.com/burdockspindle/burdockspindle/cli"
	_ "github.com/burdockspindle/burdockspindle/demo" // registers the command demo
	_ "github.com/burdockspindle/burdockspindle/experiment"
	gatewaynode "github.com/burdockspindle/burdockspindle/gateway/node"
	_ "github.com/burdockspindle/burdockspindle/modules/standard"
	"github.com/burdockspindle/burdockspindle/node"
	_ "github.com/burdockspindle/burdockspindle/standin/command"
)

func main() {
	cli.Register(cli.RunCommand(node.Run))
	cli.Register(cli.GatewayCommand(gatewaynode.Run))
	env := &cli.Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	os.Exit(cli.Main(context.Background(), os.Args[1:], env))
}
