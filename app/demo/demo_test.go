package demo_test

import (
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/app/demo"
)

func TestScratch(t *testing.T) {
	require.NoError(t, demo.Run(context.Background(), demo.Config{Out: os.Stdout, Logs: os.Stderr, Seconds: 8}))
}
