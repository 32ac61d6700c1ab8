package gossip

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
