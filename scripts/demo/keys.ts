import { randomBytes } from "node:crypto";

const newKey = () => randomBytes(24).toString("hex");

/** Keys and tokens, generated for each run of the demo. */
export const keys = { operator: newKey(), backendServer: newKey(), peer: newKey() } as const;
