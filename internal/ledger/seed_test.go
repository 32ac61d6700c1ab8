package ledger

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
