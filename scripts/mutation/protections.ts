import { callProtections } from "./callProtections.js";

/** One protection and the edit that takes it out. The searched text must occur exactly once in the file. */
export interface Protection {
    readonly name: string;
    readonly file: string;
    readonly search: string;
    readonly replacement: string;
}

export const protections: readonly Protection[] = [...callProtections];
