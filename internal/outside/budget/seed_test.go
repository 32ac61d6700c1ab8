package budget

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
