package reclaim

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
