# gcove_list_sources(FOLDER RESULT): the sources that build the programs, as
# sorted paths relative to FOLDER.
function(gcove_list_sources folder result)
    file(GLOB_RECURSE sources RELATIVE ${folder} ${folder}/src/*.cpp
        ${folder}/src/*.hpp ${folder}/src/*.h ${folder}/platform/*.cpp
        ${folder}/platform/*.hpp)
    list(SORT sources)
    set(${result} "${sources}" PARENT_SCOPE)
endfunction()
