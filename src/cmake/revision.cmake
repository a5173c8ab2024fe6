# Writes OUTPUT, a header with the commit of the sources in SOURCE_DIR and a
# digest of their content, unless it holds them already.
# Usage: cmake -DSOURCE_DIR=... -DOUTPUT=... -P revision.cmake
set(revision unknown)
find_program(GIT git)
if(GIT)
    execute_process(COMMAND ${GIT} describe --always --dirty --abbrev=12
        WORKING_DIRECTORY ${SOURCE_DIR} OUTPUT_VARIABLE described
        OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
    if(NOT failed)
        set(revision ${described})
    endif()
endif()

include(${CMAKE_CURRENT_LIST_DIR}/source_files.cmake)
gcove_list_sources(${SOURCE_DIR} sources)
foreach(source IN LISTS sources)
    file(SHA256 ${SOURCE_DIR}/${source} content)
    string(SHA256 digest "${digest}${source}${content}")
endforeach()
string(SUBSTRING "${digest}" 0 12 digest)

set(header "// Written by src/cmake/revision.cmake.
#include <string_view>

namespace gooseberrycove
{

inline constexpr std::string_view build_revision = \"${revision}\";
inline constexpr std::string_view build_sources = \"${digest}\";

} // namespace gooseberrycove
")
if(EXISTS ${OUTPUT})
    file(READ ${OUTPUT} existing)
endif()
if(NOT "${existing}" STREQUAL "${header}")
    file(WRITE ${OUTPUT} "${header}")
endif()
