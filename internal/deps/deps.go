// Package deps pins the libraries of the project in go.mod until every one of
// them is imported by the package that needs it. It is removed before a release.
package deps

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ThreeDotsLabs/watermill"
	_ "github.com/ThreeDotsLabs/watermill/components/cqrs"
	_ "github.com/ThreeDotsLabs/watermill/message"
	_ "github.com/ThreeDotsLabs/watermill/message/router/middleware"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/go-chi/chi/v5/middleware"
	_ "github.com/google/uuid"
	_ "github.com/matryer/is"
	_ "github.com/openai/openai-go"
	_ "github.com/openai/openai-go/option"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/tmaxmax/go-sse"
	_ "github.com/urfave/cli/v3"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
