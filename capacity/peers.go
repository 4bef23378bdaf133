package capacity

import "context"

func measurePeers(context.Context, Options) ([]Line, error) { return nil, nil }
