/** Public entry of the operators' commands, for programs that embed them. */
export * from "./command.js";
export * from "./commandTable.js";
export * from "./operatorClient.js";
export * from "./table.js";
export * from "./parseArguments.js";
export * from "./runCommand.js";
