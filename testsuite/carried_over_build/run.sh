#!/usr/bin/env bash
# Guards against a program that keeps parts of an older build: a build folder is
# carried over, and the new sources bear older times than its objects.
# Usage: run.sh BIN_DIR
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
work=$folder/first
mkdir -p "$work/src" "$work/platform"
cat > "$work/CMakeLists.txt" <<EOF
cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES CXX)
list(APPEND CMAKE_MODULE_PATH $here/../../src/cmake)
include(changed_sources)
add_executable(sample src/main.cpp platform/part.cpp)
EOF
cat > "$work/src/main.cpp" <<'EOF'
#include "part.hpp"
#include <cstdio>
int main() { std::printf("%d %d\n", part(), in_header); }
EOF

# write_parts PART HEADER: sources whose times are those of an old archive.
write_parts() {
    printf '#include "../src/part.hpp"\nint part() { return %s; }\n' "$1" \
        > "$work/platform/part.cpp"
    printf 'int part();\ninline int const in_header = %s;\n' "$2" \
        > "$work/src/part.hpp"
    touch -d '2020-01-01' "$work/platform/part.cpp" "$work/src/part.hpp"
}

configure=$(sed -n 's/^build = "\(cmake [^&]*\) -D.*/\1/p' \
    "$here/../../deploy/system.toml")

# check_output TEXT: builds as deploy/system.toml does and runs the program.
check_output() {
    (cd "$work" && $configure && cmake --build target) \
        > "$work/build.log" 2>&1 || { cat "$work/build.log"; exit 1; }
    local output
    output=$("$work/target/sample")
    [ "$output" = "$1" ] || {
        echo "the program says '$output', its sources say '$1'"
        exit 1
    }
}

write_parts 1 1
check_output "1 1"
write_parts 2 1
check_output "2 1"
write_parts 2 3
check_output "2 3"
# The folder of another kind of machine has objects that cannot be linked.
sed -i '1s/.*/another_machine/' "$work/target/source_digests.txt"
find "$work/target" -name '*.o' -exec sh -c ': > "$1"' _ {} \;
rm "$work/target/sample"
check_output "2 3"
mv "$folder/first" "$folder/second"
work=$folder/second
write_parts 4 3
check_output "4 3"
echo "carried_over_build: ok"
