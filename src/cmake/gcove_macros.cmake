# Sanitizer for the whole build: address, thread, undefined or empty.
set(SANITIZE "" CACHE STRING "address, thread, undefined or empty")

add_library(gcove_options INTERFACE)
target_compile_options(gcove_options INTERFACE -Wall -Wextra -Wshadow)
# Off by default, because other compilers and build types may report warnings
# that the project's own builds do not have.
option(GCOVE_WARNINGS_AS_ERRORS "Stop the build at a warning" OFF)
if(GCOVE_WARNINGS_AS_ERRORS)
    target_compile_options(gcove_options INTERFACE -Werror)
endif()
target_include_directories(gcove_options
    INTERFACE ${CMAKE_SOURCE_DIR}/src/include ${CMAKE_SOURCE_DIR}/src)
if(SANITIZE)
    # GCC reports false positives for std::variant in instrumented code. Builds
    # without a sanitizer keep the warning.
    target_compile_options(gcove_options INTERFACE -Wno-maybe-uninitialized)
    target_compile_options(gcove_options
        INTERFACE -fsanitize=${SANITIZE} -fno-omit-frame-pointer)
    target_link_options(gcove_options INTERFACE -fsanitize=${SANITIZE})
    if(SANITIZE STREQUAL "thread")
        # Asio uses atomic_thread_fence, which GCC's thread sanitizer does not
        # support; GCC warns of each use.
        target_compile_options(gcove_options INTERFACE -Wno-tsan)
    endif()
    if(SANITIZE STREQUAL "undefined")
        target_compile_options(gcove_options
            INTERFACE -fno-sanitize-recover=all)
    endif()
endif()

# gcove_library(NAME [LINK target...]): the static library gcove_NAME of all
# .cpp files in this folder except *_test.cpp, and the test program
# gcove_NAME_test of the *_test.cpp files when there are any.
macro(gcove_library name)
    cmake_parse_arguments(GL "" "" "LINK" ${ARGN})
    file(GLOB gl_sources CONFIGURE_DEPENDS *.cpp)
    file(GLOB gl_tests CONFIGURE_DEPENDS *_test.cpp)
    if(gl_tests)
        list(REMOVE_ITEM gl_sources ${gl_tests})
    endif()
    add_library(gcove_${name} STATIC ${gl_sources})
    target_link_libraries(gcove_${name} PUBLIC gcove_options ${GL_LINK})
    if(gl_tests)
        add_executable(gcove_${name}_test ${gl_tests})
        target_link_libraries(gcove_${name}_test
            PRIVATE gcove_${name} gcove_test_main)
        add_test(NAME unit.${name} COMMAND gcove_${name}_test)
        set_tests_properties(unit.${name} PROPERTIES LABELS unit TIMEOUT 120)
    endif()
endmacro()

# gcove_program(NAME [LINK target...]): the program gcove_NAME of all .cpp files
# in this folder except *_test.cpp, and the test program gcove_NAME_test when
# there are any.
macro(gcove_program name)
    cmake_parse_arguments(GP "" "" "LINK" ${ARGN})
    file(GLOB gp_sources CONFIGURE_DEPENDS *.cpp)
    file(GLOB gp_tests CONFIGURE_DEPENDS *_test.cpp)
    if(gp_tests)
        list(REMOVE_ITEM gp_sources ${gp_tests})
    endif()
    add_executable(gcove_${name} ${gp_sources})
    target_link_libraries(gcove_${name} PRIVATE gcove_options ${GP_LINK})
    set_target_properties(gcove_${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    if(gp_tests)
        list(FILTER gp_sources EXCLUDE REGEX "/main\\.cpp$")
        add_executable(gcove_${name}_test ${gp_tests} ${gp_sources})
        target_link_libraries(gcove_${name}_test
            PRIVATE gcove_options ${GP_LINK} gcove_test_main)
        add_test(NAME unit.${name} COMMAND gcove_${name}_test)
        set_tests_properties(unit.${name} PROPERTIES LABELS unit TIMEOUT 120)
    endif()
endmacro()

# gcove_testsuite(NAME): adds the test testsuite.NAME, which runs
# testsuite/NAME/run.sh with the folder of the programs as its argument.
macro(gcove_testsuite name)
    add_test(NAME testsuite.${name}
        COMMAND bash ${CMAKE_SOURCE_DIR}/testsuite/${name}/run.sh
            ${CMAKE_BINARY_DIR}/bin
        WORKING_DIRECTORY ${CMAKE_BINARY_DIR})
    set_tests_properties(testsuite.${name} PROPERTIES
        LABELS testsuite TIMEOUT 300)
endmacro()
