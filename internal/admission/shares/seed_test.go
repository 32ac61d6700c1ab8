package shares

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
