/** Public API of the command-line tool, for programs that embed its commands. */
export * from "./command.js";
export * from "./commandTable.js";
export * from "./operatorClient.js";
export * from "./table.js";
export * from "./parseArguments.js";
export * from "./runCommand.js";
