package workload

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
