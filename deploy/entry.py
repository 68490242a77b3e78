"""Start script of the entry process; the platform puts ``target/deps`` on the module path."""

import sys

from chicoryproxy.node.main import main

if __name__ == "__main__":
    sys.exit(main())
