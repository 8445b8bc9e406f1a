#!/bin/sh
# Installs the product and its pinned dependencies below target/deps. Dependencies are
# installed again only when they change; the sources are copied at each build.
set -eu
deps=target/deps
stamp=target/constraints.txt
if ! cmp -s constraints.txt "$stamp" || ! cmp -s pyproject.toml target/pyproject.toml; then
    rm -rf "$deps"
    python3 -m pip install -q -c constraints.txt --target "$deps" .
    cp constraints.txt "$stamp"
    cp pyproject.toml target/pyproject.toml
fi
rm -rf "$deps/chervilstage"
cp -r src/chervilstage "$deps/chervilstage"
find "$deps/chervilstage" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"
