package capacity

import "context"

func measureDeployment(context.Context, Options) ([]Line, error) { return nil, nil }
