package prompt

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
