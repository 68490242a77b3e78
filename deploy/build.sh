#!/bin/sh
# Installs the libraries and the modules of the entry into target/deps and compiles them.
set -eu
deps=target/deps
stamp=$deps/.installed
if [ ! "$stamp" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" \
        -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf "$deps/chicoryproxy"
mkdir "$deps/chicoryproxy"
while read -r part; do
    cp -R "src/chicoryproxy/$part" "$deps/chicoryproxy/"
done < deploy/parts.txt
# The compiled files are not compared with their sources at each start.
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/chicoryproxy"
