# Runs a scenario twice and checks that both runs write identical files.
foreach(turn first second)
  file(MAKE_DIRECTORY ${FOLDER}/${turn})
  execute_process(COMMAND ${EXPERIMENT} ${SCENARIO} --out ${FOLDER}/${turn}
    COMMAND_ERROR_IS_FATAL ANY)
endforeach()
foreach(file summary.csv timeline.csv)
  execute_process(COMMAND ${CMAKE_COMMAND} -E compare_files
    ${FOLDER}/first/${file} ${FOLDER}/second/${file}
    COMMAND_ERROR_IS_FATAL ANY)
endforeach()
