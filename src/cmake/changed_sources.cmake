# Make compares times of files, so that a build folder which was carried over
# keeps objects of older sources when the new ones bear older times, as files
# from an archive do. Each configuration therefore compares the content of the
# sources with that of the last one and touches those that differ. Objects that
# were built by another kind of machine or compiler, or in another folder, are
# replaced in the same way.
include(${CMAKE_CURRENT_LIST_DIR}/source_files.cmake)
set(manifest_file ${CMAKE_BINARY_DIR}/source_digests.txt)
set(manifest "${CMAKE_SYSTEM_PROCESSOR} ${CMAKE_CXX_COMPILER_ID} \
${CMAKE_CXX_COMPILER_VERSION} ${CMAKE_SOURCE_DIR}")
set(known_digests "")
if(EXISTS ${manifest_file})
    file(STRINGS ${manifest_file} known_digests)
    list(POP_FRONT known_digests known_toolchain)
    if(NOT known_toolchain STREQUAL manifest)
        set(known_digests "")
    endif()
endif()

gcove_list_sources(${CMAKE_SOURCE_DIR} sources)
set(changed_sources "")
foreach(source IN LISTS sources)
    file(SHA256 ${CMAKE_SOURCE_DIR}/${source} digest)
    string(APPEND manifest "\n${digest} ${source}")
    list(FIND known_digests "${digest} ${source}" position)
    if(position EQUAL -1)
        list(APPEND changed_sources ${CMAKE_SOURCE_DIR}/${source})
    endif()
endforeach()
# In a folder without objects nothing can be stale, and touched sources would
# be built again in the other build folders.
file(GLOB_RECURSE objects ${CMAKE_BINARY_DIR}/*.o)
if(changed_sources AND objects)
    execute_process(
        COMMAND ${CMAKE_COMMAND} -E touch_nocreate ${changed_sources}
        RESULT_VARIABLE touch_failed)
    if(touch_failed)
        message(WARNING "Sources cannot be touched. Build in a new folder, "
            "because objects of older sources may stay in this one.")
    endif()
endif()
file(WRITE ${manifest_file} "${manifest}\n")
