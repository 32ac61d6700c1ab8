package placement

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
